package entry

// Role is the name of this role in logs, state dumps and the command line.
const Role = "entry"
