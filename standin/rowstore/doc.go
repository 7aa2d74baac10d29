// Package rowstore is a stand-in for the users' row store: rows in tables,
// transactions that apply only if rows have the expected versions, and a feed of
// changes by long polling. The history behind the feed can be truncated, so that
// tests can make clients read all rows again, and the store can be restored from an
// older copy of itself.
package rowstore
