package script

import "github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"

func startRelay(w *World, args []string) error {
	if len(args) != 2 {
		return &UsageError{Usage: "relay NAME TARGET"}
	}
	r, err := relay.Start(args[1])
	if err != nil {
		return err
	}
	w.relays[args[0]] = r
	w.script.Setenv(args[0], r.Address())
	return nil
}

func cut(w *World, args []string) error {
	r, err := w.relay("cut NAME", args)
	if err != nil {
		return err
	}
	return r.Cut()
}

func heal(w *World, args []string) error {
	r, err := w.relay("heal NAME", args)
	if err != nil {
		return err
	}
	return r.Heal()
}

func (w *World) relay(usage string, args []string) (*relay.Relay, error) {
	if len(args) != 1 {
		return nil, &UsageError{Usage: usage}
	}
	r := w.relays[args[0]]
	if r == nil {
		return nil, &UnknownNameError{Name: args[0]}
	}
	return r, nil
}
