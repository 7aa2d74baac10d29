// Package duties is a stand-in for the cloud API that singleton duties call: it
// accepts usage reports and scale orders, and refuses a call whose fencing
// number is lower than one seen before for the same subject.
package duties
