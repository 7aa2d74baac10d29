package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// diff returns the changes between two documents of a member, ordered by subject
// and name.
func diff(before, after *intent.Document) []Change {
	from, to := settings(before), settings(after)
	keys := make([]settingKey, 0, len(from)+len(to))
	for k := range from {
		keys = append(keys, k)
	}
	for k := range to {
		if _, ok := from[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	var changes []Change
	for _, k := range keys {
		if from[k] != to[k] {
			changes = append(changes, Change{Subject: k.subject, Name: k.name, From: from[k], To: to[k]})
		}
	}
	return changes
}

// settings flattens a document into single values, as text. A change of a value
// becomes one Change.
func settings(d *intent.Document) map[settingKey]string {
	values := map[settingKey]string{}
	for _, m := range d.Models {
		addModelSettings(values, &m)
	}
	for _, p := range d.Pools {
		addPoolSettings(values, &p)
	}
	for _, s := range d.Services {
		values[settingKey{Services, s.Name}] = serviceText(&s)
	}
	for _, c := range d.Customers {
		values[settingKey{Customers, c.Name}] = "credential " + shortHash(c.CredentialSHA256)
		values[settingKey{Limits, "customer " + c.Name}] = fmt.Sprintf("share %d, requests/s %g, concurrent %d",
			c.Share, c.RequestsPerSecond, c.MaxConcurrent)
	}
	if d.Budget.MicrosPerHour != 0 {
		values[settingKey{Budgets, "member " + d.Member}] = d.Budget.MicrosPerHour.String()
	}
	return values
}

func addModelSettings(values map[settingKey]string, m *intent.Model) {
	values[settingKey{Models, m.Name}] = "version " + m.Version
	values[settingKey{Latency, m.Name}] = fmt.Sprintf("first token %d ms, next token %d ms", m.FirstTokenMillis, m.NextTokenMillis)
	for _, a := range m.Adapters {
		values[settingKey{Adapters, m.Name + "/" + a}] = "loaded"
	}
}

func addPoolSettings(values map[settingKey]string, p *intent.Pool) {
	role := string(p.Kind)
	if p.Model != "" {
		role += " of " + p.Model
	}
	if p.FencingChecked {
		role += ", fencing checked"
	}
	values[settingKey{Roles, p.Name}] = role
	values[settingKey{Limits, "pool " + p.Name}] = fmt.Sprintf("replicas %d, concurrent %d, reclaimable %g, domains %s, classes %s",
		p.Replicas, p.MaxConcurrent, p.ReclaimableShare,
		strings.Join(p.FailureDomains, " "), strings.Join(p.MachineClasses, " "))
}

func serviceText(s *intent.Service) string {
	rules := make([]string, 0, len(s.NonIdempotent))
	for _, r := range s.NonIdempotent {
		rules = append(rules, strings.TrimSpace(r.Method+" "+r.PathPrefix))
	}
	return fmt.Sprintf("pool %s, timeout %d ms, non-idempotent [%s]", s.Pool, s.TimeoutMillis, strings.Join(rules, ", "))
}

// shortHashDigits is the number of digits of a credential's hash in a Change.
const shortHashDigits = 8

func shortHash(hash string) string {
	return hash[:min(shortHashDigits, len(hash))]
}
