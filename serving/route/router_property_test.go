package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

var policies = []route.Policy{route.RoundRobin, route.LeastRequests, route.Predicted, route.PredictedCached, route.Slack}

const modelLimit = 3

// model tracks which replicas may be chosen and which attempts run on them.
type model struct {
	r          *route.Router
	now        clock.Instant
	accepts    map[string]bool
	inProgress map[string]int
	running    []attempt
	// added counts how often each replica was added.
	added map[string]int
}

// attempt is a choice with the value of model.added for its replica, which tells
// whether the replica has been removed and added again since.
type attempt struct {
	choice route.Choice
	added  int
}

func drawID(t *rapid.T) string {
	return fmt.Sprintf("i-%d", rapid.IntRange(0, 7).Draw(t, "id"))
}

func (m *model) upsert(t *rapid.T) {
	id := drawID(t)
	if _, known := m.accepts[id]; known {
		return
	}
	state := rapid.SampledFrom([]fleet.State{fleet.Live, fleet.Starting}).Draw(t, "state")
	m.r.Upsert(route.Replica{ID: id, Pool: "p", Model: "m", Address: "a", MaxConcurrent: modelLimit, State: state})
	m.accepts[id] = state == fleet.Live
	m.inProgress[id] = 0
	m.added[id]++
}

func (m *model) leave(t *rapid.T) {
	id := drawID(t)
	m.r.SetLeaving(id)
	if _, known := m.accepts[id]; known {
		m.accepts[id] = false
	}
}

func (m *model) remove(t *rapid.T) {
	id := drawID(t)
	m.r.Remove(id)
	delete(m.accepts, id)
}

func (m *model) choose(t *rapid.T) {
	prompt := make([]byte, prefix.BlockBytes*rapid.IntRange(0, 6).Draw(t, "blocks"))
	job := route.Job{Pool: "p", Model: "m", PromptBlocks: prefix.Blocks("m", "", string(prompt)), PromptTokens: 500}
	if rapid.Bool().Draw(t, "tried one") {
		job.Avoid = []string{drawID(t)}
	}
	c, err := m.r.Choose(job, m.now)
	if err != nil {
		m.checkError(t, err)
		return
	}
	if !m.accepts[c.ID] {
		t.Fatalf("%s was chosen though it is not available", c.ID)
	}
	if len(job.Avoid) > 0 && c.ID == job.Avoid[0] {
		t.Fatalf("%s was chosen though it was tried before", c.ID)
	}
	m.inProgress[c.ID]++
	if m.inProgress[c.ID] > modelLimit {
		t.Fatalf("%s runs %d requests", c.ID, m.inProgress[c.ID])
	}
	m.r.Started(&c, job, m.now)
	m.running = append(m.running, attempt{choice: c, added: m.added[c.ID]})
}

func (m *model) checkError(t *rapid.T, err error) {
	var none *route.NoReplicaError
	var saturated *route.SaturatedError
	if !errors.As(err, &none) && !errors.As(err, &saturated) {
		t.Fatalf("unexpected error %v", err)
	}
}

func (m *model) end(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	if len(m.running) == 0 {
		return
	}
	a := m.running[0]
	c := a.choice
	m.running = m.running[1:]
	if a.added == m.added[c.ID] {
		m.inProgress[c.ID]--
	}
	if rapid.Bool().Draw(t, "whole") {
		m.r.FirstToken(&c, 100*time.Millisecond, m.now)
		m.r.NextTokens(&c, 10, time.Second, m.now)
		m.r.Finished(&c, m.now)
		return
	}
	m.r.Failed(&c, route.Broken, m.now)
}

func (m *model) report(t *rapid.T) {
	id := drawID(t)
	m.r.ReportLoad(id, route.Load{Running: rapid.IntRange(0, 4).Draw(t, "running"), Age: time.Second}, m.now)
	m.r.ReportCache(id, m.now, route.CacheEvent{Sequence: uint64(rapid.IntRange(0, 9).Draw(t, "sequence")), Kind: route.CacheCleared})
}

func TestChoosesOnlyAvailableReplicas(t *testing.T) {
	for _, policy := range policies {
		t.Run(string(policy), rapid.MakeCheck(func(t *rapid.T) {
			m := &model{r: route.New(route.Config{Policy: policy}), accepts: map[string]bool{}, inProgress: map[string]int{}, added: map[string]int{}}
			t.Repeat(map[string]func(*rapid.T){
				"upsert": m.upsert,
				"leave":  m.leave,
				"remove": m.remove,
				"choose": m.choose,
				"end":    m.end,
				"report": m.report,
				"":       func(*rapid.T) {},
			})
		}))
	}
}
