namespace hemlockward::ctl {}
