// Package load runs callers that ask the directory for addresses, keep their
// connections until the process is gone, and record the responses.
package load
