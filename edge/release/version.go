package release

// Version is the version of the programs.
const Version = "0.1.0"
