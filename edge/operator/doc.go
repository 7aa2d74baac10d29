// Package operator encodes the operators' HTTP API: making, confirming and showing
// plans, and showing the intent in force and the status of the system. The
// controllers serve it with Decode and the Reply functions, and the command line
// calls it with Client.
package operator
