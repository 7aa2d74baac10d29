// Package intent defines the document in which a member states what it wants
// served, and validates it. A Configuration is a confirmed version of the
// documents of all members.
package intent
