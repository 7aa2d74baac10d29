// Package table is the client of the platform's table service. It speaks the
// JSON protocol of DynamoDB on one table whose items have the attributes pk
// (S), sk (S), v (N) and value (B).
//
// The three failures of a write are those of package row: a conflict and an
// unavailable service have surely changed nothing; after any other failure the
// outcome is unknown.
package table
