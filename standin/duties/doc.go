// Package duties is a stand-in of the users' cloud API: usage reports and orders,
// each with the fencing number of its holder.
package duties
