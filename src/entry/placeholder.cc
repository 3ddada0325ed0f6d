namespace hemlockward::entry {}
