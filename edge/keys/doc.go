// Package keys issues and loads the certificates by which the system's own
// processes know each other: one certificate authority, and for each process a
// certificate whose URI names its role and instance.
package keys
