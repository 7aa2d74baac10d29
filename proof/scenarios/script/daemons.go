package script

import (
	"strings"
)

const (
	// keysDirectory holds the certificates of all daemons of a script.
	keysDirectory = "keys"
	// instances are the entry instances that have certificates.
	instances = "entry-1,entry-2,entry-3,entry-4,entry-5,entry-6"
	// region is that of the entry instances.
	region = "kr-seoul"
	// agreed is what the members may spend an hour.
	agreed = "200000000"
	// confirmPatience bounds the wait for prices and for a plan to take effect,
	// in seconds.
	confirmPatience = "30"
	// peersVariable holds the link addresses of all daemons started so far.
	peersVariable = "peers"
)

// writeKeys writes the certificates.
func (w *World) writeKeys() error {
	return exits(w, []string{"0", "sycamorectl", "keys", "-dir=" + keysDirectory, "-names=" + instances})
}

// daemon starts a gateway or controller with the settings that all have in
// common; later flags go before earlier ones.
func daemon(w *World, args []string) error {
	if len(args) < 4 {
		return &UsageError{Usage: "daemon NAME ROLE INSTANCE FAILURE-DOMAIN ARGS..."}
	}
	name, role, instance := args[0], args[1], args[2]
	certificate := w.directory + "/" + keysDirectory + "/" + role + "-" + instance
	all := []string{
		name, "sycamored", role, "-instance=" + instance, "-region=" + region, "-failure-domain=" + args[3],
		"-certificate-file=" + certificate + ".crt", "-key-file=" + certificate + ".key",
		"-authority-file=" + w.directory + "/" + keysDirectory + "/ca.crt",
		"-table-address=" + w.script.Getenv("site_table"), "-link-address=127.0.0.1:0",
		"-peers=" + w.script.Getenv(peersVariable),
	}
	if role == "controller" {
		all = append(all, "-cloud-address="+w.script.Getenv("site_cloud"), "-agreed-micros-per-hour="+agreed)
	} else {
		all = append(all, "-leave-delay=1s", "-address-keep=1s", "-probe-interval=200ms")
	}
	if err := up(w, append(all, args[4:]...)); err != nil {
		return err
	}
	known := strings.TrimPrefix(w.script.Getenv(peersVariable)+","+w.script.Getenv(name+"_link"), ",")
	w.script.Setenv(peersVariable, known)
	return nil
}

// confirm plans an intent and confirms the plan. It succeeds once every live
// process has the version.
func confirm(w *World, args []string) error {
	if len(args) != 2 {
		return &UsageError{Usage: "confirm FILE CONTROLLERS"}
	}
	plan := []string{confirmPatience, "prints", `"id": "([^"]*)"`, "sycamorectl", "plan", "-json", "-f=" + args[0], "-controllers=" + args[1]}
	if err := await(w, plan); err != nil {
		return err
	}
	return exits(w, []string{"0", "sycamorectl", "confirm", w.script.Getenv("found"), "-controllers=" + args[1]})
}
