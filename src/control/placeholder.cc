namespace hemlockward::control {}
