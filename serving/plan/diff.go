package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// diff lists what differs between two documents of a member.
func diff(before, after *intent.Document) []Change {
	from, to := facts(before), facts(after)
	keys := make([]factKey, 0, len(from)+len(to))
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

// facts flattens a document into values that are compared one by one.
func facts(d *intent.Document) map[factKey]string {
	f := map[factKey]string{}
	for _, m := range d.Models {
		modelFacts(f, &m)
	}
	for _, p := range d.Pools {
		poolFacts(f, &p)
	}
	for _, s := range d.Services {
		f[factKey{Services, s.Name}] = serviceText(&s)
	}
	for _, c := range d.Customers {
		f[factKey{Customers, c.Name}] = "credential " + shortHash(c.CredentialSHA256)
		f[factKey{Limits, "customer " + c.Name}] = fmt.Sprintf("share %d, requests/s %g, concurrent %d",
			c.Share, c.RequestsPerSecond, c.MaxConcurrent)
	}
	if d.Budget.MicrosPerHour != 0 {
		f[factKey{Budgets, "member " + d.Member}] = d.Budget.MicrosPerHour.String()
	}
	return f
}

func modelFacts(f map[factKey]string, m *intent.Model) {
	f[factKey{Models, m.Name}] = "version " + m.Version
	f[factKey{Latency, m.Name}] = fmt.Sprintf("first token %d ms, next token %d ms", m.FirstTokenMillis, m.NextTokenMillis)
	for _, a := range m.Adapters {
		f[factKey{Adapters, m.Name + "/" + a}] = "loaded"
	}
}

func poolFacts(f map[factKey]string, p *intent.Pool) {
	role := string(p.Kind)
	if p.Model != "" {
		role += " of " + p.Model
	}
	if p.FencingChecked {
		role += ", fencing checked"
	}
	f[factKey{Roles, p.Name}] = role
	f[factKey{Limits, "pool " + p.Name}] = fmt.Sprintf("replicas %d, concurrent %d, reclaimable %g, domains %s, classes %s",
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

// shortHashDigits is the number of digits of a credential's hash that are
// shown.
const shortHashDigits = 8

func shortHash(hash string) string {
	return hash[:min(shortHashDigits, len(hash))]
}
