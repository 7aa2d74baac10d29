// Package table is the client of the platform's table service. It uses the
// JSON protocol of DynamoDB on one table whose items have the attributes pk
// (S), sk (S), v (N) and value (B).
//
// A write fails with one of three errors of package row. After a ConflictError or
// an UnavailableError it is certain that nothing was changed; after an
// UnknownError the outcome is unknown.
package table
