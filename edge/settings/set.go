package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// Prefix begins the name of each environment variable.
const Prefix = "SYCAMORE"

// Set is the settings of one command. Declare each setting, let the command
// line be parsed, then call Load.
type Set struct {
	flags   *flag.FlagSet
	entries []*entry
	orders  []order
}

// New declares settings on a set of flags.
func New(flags *flag.FlagSet) *Set {
	return &Set{flags: flags}
}

// Text declares a text. A required one must not be empty.
func (s *Set) Text(p *string, name, value, usage string, required bool) {
	allowed := "any text"
	if required {
		allowed = "a text that is not empty"
	}
	s.declare(name, value, usage, allowed, func(text string) bool {
		*p = text
		return text != "" || !required
	})
}

// OneOf declares a text out of a list.
func (s *Set) OneOf(p *string, name, value, usage string, values ...string) {
	s.declare(name, value, usage, "one of "+strings.Join(values, ", "), func(text string) bool {
		*p = text
		for _, v := range values {
			if v == text {
				return true
			}
		}
		return false
	})
}

// Address declares an IP number and port. An empty text is allowed unless the
// address is required.
func (s *Set) Address(p *string, name, value, usage string, required bool) {
	s.declare(name, value, usage, "an IP number and port, such as 127.0.0.1:8080", func(text string) bool {
		*p = text
		return isAddress(text) || (text == "" && !required)
	})
}

// Addresses declares a list of IP numbers and ports, parted by commas.
func (s *Set) Addresses(p *[]string, name, value, usage string, required bool) {
	allowed := "IP numbers and ports parted by commas, such as 127.0.0.1:8080,127.0.0.1:8081"
	s.declare(name, value, usage, allowed, func(text string) bool {
		*p = split(text)
		for _, a := range *p {
			if !isAddress(a) {
				return false
			}
		}
		return len(*p) > 0 || !required
	})
}

// List declares a list of texts, parted by commas.
func (s *Set) List(p *[]string, name, value, usage string) {
	s.declare(name, value, usage, "texts parted by commas", func(text string) bool {
		*p = split(text)
		return true
	})
}

// Int declares a whole number from low to high.
func (s *Set) Int(p *int, name string, value int, usage string, low, high int) {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.declare(name, strconv.Itoa(value), usage, allowed, func(text string) bool {
		n, err := strconv.Atoi(text)
		*p = n
		return err == nil && n >= low && n <= high
	})
}

// Duration declares a time span from low to high, given with its unit.
func (s *Set) Duration(p *time.Duration, name string, value time.Duration, usage string, low, high time.Duration) {
	allowed := fmt.Sprintf("a time with its unit from %v to %v", low, high)
	s.declare(name, value.String(), usage, allowed, func(text string) bool {
		d, err := time.ParseDuration(text)
		*p = d
		return err == nil && d >= low && d <= high
	})
}

// NotBelow demands of two declared time spans that the one of highFlag is at
// least that of lowFlag.
func (s *Set) NotBelow(high *time.Duration, highFlag string, low *time.Duration, lowFlag string) {
	s.orders = append(s.orders, order{low: low, lowFlag: lowFlag, high: high, highFlag: highFlag})
}

// File declares the path of a file that must exist. An empty text is allowed
// unless the file is required.
func (s *Set) File(p *string, name, value, usage string, required bool) {
	s.declare(name, value, usage, "the path of a file that exists", func(text string) bool {
		*p = text
		if text == "" {
			return !required
		}
		info, err := os.Stat(text)
		return err == nil && !info.IsDir()
	})
}

// Load reads the environment for all flags that the command line did not set,
// and checks all settings. It fails with an *InvalidError.
func (s *Set) Load() error {
	// The command line was parsed before, so no arguments are left here.
	rest := s.flags.Args()
	if err := ff.Parse(s.flags, rest, ff.WithEnvVarPrefix(Prefix)); err != nil {
		return &InvalidError{Faults: []Fault{{Flag: "", Value: err.Error(), Allowed: "flags as listed by --help"}}}
	}
	var faults []Fault
	for _, e := range s.entries {
		if !e.parse(e.text) {
			faults = append(faults, Fault{Flag: e.flag, Value: e.text, Allowed: e.allowed})
		}
	}
	for _, o := range s.orders {
		if *o.high < *o.low {
			faults = append(faults, Fault{Flag: o.highFlag, Value: o.high.String(), Allowed: "not below --" + o.lowFlag + "=" + o.low.String()})
		}
	}
	if len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return nil
}

// Resolved lists the settings in force, in the order of their declaration.
func (s *Set) Resolved() []Resolved {
	list := make([]Resolved, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, Resolved{Flag: e.flag, Variable: variable(e.flag), Value: e.text})
	}
	return list
}

func (s *Set) declare(name, value, usage, allowed string, parse func(string) bool) {
	e := &entry{flag: name, text: value, allowed: allowed, parse: parse}
	s.entries = append(s.entries, e)
	s.flags.Var(e, name, fmt.Sprintf("%s; %s (environment: %s)", usage, allowed, variable(name)))
}

func variable(name string) string {
	return Prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func split(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
