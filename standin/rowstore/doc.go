// Package rowstore is a stand-in of the users' store: rows in tables,
// transactions with conditions, a feed of changes, and a history that is
// forgotten on demand.
package rowstore
