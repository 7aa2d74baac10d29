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

// Prefix is the first part of the name of each environment variable.
const Prefix = "SYCAMORE"

// Set holds the settings of one command. Declare each setting, parse the command
// line with the flag set, then call Load.
type Set struct {
	flags       *flag.FlagSet
	settings    []*setting
	constraints []durationConstraint
}

// New returns a Set that declares its settings as flags of the given flag set.
func New(flags *flag.FlagSet) *Set {
	return &Set{flags: flags}
}

// Text declares a string setting. A required one must not be empty.
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

// OneOf declares a string setting that must be one of the given values.
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

// Address declares an IP address with a port. An empty text is allowed unless
// the address is required.
func (s *Set) Address(p *string, name, value, usage string, required bool) {
	s.declare(name, value, usage, "an IP number and port, such as 127.0.0.1:8080", func(text string) bool {
		*p = text
		return isAddress(text) || (text == "" && !required)
	})
}

// Addresses declares a comma-separated list of IP addresses with ports. A
// required list must not be empty.
func (s *Set) Addresses(p *[]string, name, value, usage string, required bool) {
	allowed := "IP numbers and ports parted by commas, such as 127.0.0.1:8080,127.0.0.1:8081"
	s.declare(name, value, usage, allowed, func(text string) bool {
		*p = splitList(text)
		for _, a := range *p {
			if !isAddress(a) {
				return false
			}
		}
		return len(*p) > 0 || !required
	})
}

// List declares a comma-separated list of strings.
func (s *Set) List(p *[]string, name, value, usage string) {
	s.declare(name, value, usage, "texts parted by commas", func(text string) bool {
		*p = splitList(text)
		return true
	})
}

// Int declares an integer from low to high, both included.
func (s *Set) Int(p *int, name string, value int, usage string, low, high int) {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.declare(name, strconv.Itoa(value), usage, allowed, func(text string) bool {
		n, err := strconv.Atoi(text)
		*p = n
		return err == nil && n >= low && n <= high
	})
}

// Duration declares a duration from low to high, both included.
func (s *Set) Duration(p *time.Duration, name string, value time.Duration, usage string, low, high time.Duration) {
	allowed := fmt.Sprintf("a time with its unit from %v to %v", low, high)
	s.declare(name, value.String(), usage, allowed, func(text string) bool {
		d, err := time.ParseDuration(text)
		*p = d
		return err == nil && d >= low && d <= high
	})
}

// RequireAtLeast requires that the duration of highFlag is at least that of
// lowFlag. Both must be declared with Duration.
func (s *Set) RequireAtLeast(high *time.Duration, highFlag string, low *time.Duration, lowFlag string) {
	s.constraints = append(s.constraints, durationConstraint{low: low, lowFlag: lowFlag, high: high, highFlag: highFlag})
}

// File declares the path of an existing file. An empty text is allowed unless
// the file is required.
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

// Load reads the environment variables of the flags that the command line did
// not set, then parses and validates all settings. It fails with an
// *InvalidError.
func (s *Set) Load() error {
	// The flags of the command line are already parsed, so ff.Parse only has to
	// read the environment.
	rest := s.flags.Args()
	if err := ff.Parse(s.flags, rest, ff.WithEnvVarPrefix(Prefix)); err != nil {
		return &InvalidError{Violations: []Violation{{Flag: "", Value: err.Error(), Allowed: "flags as listed by --help"}}}
	}
	var violations []Violation
	for _, e := range s.settings {
		if !e.parse(e.text) {
			violations = append(violations, Violation{Flag: e.flag, Value: e.text, Allowed: e.allowed})
		}
	}
	for _, c := range s.constraints {
		if *c.high < *c.low {
			violations = append(violations, Violation{Flag: c.highFlag, Value: c.high.String(), Allowed: "not below --" + c.lowFlag + "=" + c.low.String()})
		}
	}
	if len(violations) > 0 {
		return &InvalidError{Violations: violations}
	}
	return nil
}

// Resolved returns the settings in effect, in the order of their declaration.
func (s *Set) Resolved() []Resolved {
	list := make([]Resolved, 0, len(s.settings))
	for _, e := range s.settings {
		list = append(list, Resolved{Flag: e.flag, Variable: environmentVariable(e.flag), Value: e.text})
	}
	return list
}

// declare adds a setting and its flag. The flag's usage text includes the allowed
// values and the environment variable.
func (s *Set) declare(name, value, usage, allowed string, parse func(string) bool) {
	e := &setting{flag: name, text: value, allowed: allowed, parse: parse}
	s.settings = append(s.settings, e)
	s.flags.Var(e, name, fmt.Sprintf("%s; %s (environment: %s)", usage, allowed, environmentVariable(name)))
}

// environmentVariable returns the name of the environment variable of a flag.
func environmentVariable(name string) string {
	return Prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// splitList splits a comma-separated list and drops empty elements.
func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
