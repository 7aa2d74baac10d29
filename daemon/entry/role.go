package entry

// Role is the name of this role in logs and dumps.
const Role = "entry"
