// Package table is a stand-in of the platform's table service. It speaks the
// JSON protocol of DynamoDB for GetItem, Query and TransactWriteItems on one
// table whose items have the attributes pk (S), sk (S), v (N) and value (B).
package table
