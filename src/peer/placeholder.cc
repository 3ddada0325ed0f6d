namespace hemlockward::peer {}
