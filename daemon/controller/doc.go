// Package controller is the controller role of the daemon: operators, plans and
// their confirmation, the fleet, orders to engines and the budget. Each duty
// runs on a thread of its own.
package controller
