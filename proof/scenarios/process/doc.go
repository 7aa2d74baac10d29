// Package process runs programs of the project as child processes.
package process
