namespace hemlockward::platform {}
