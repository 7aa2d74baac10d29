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

// model knows which replicas may be chosen, and what runs at each.
type model struct {
	r       *route.Router
	now     clock.Instant
	takes   map[string]bool
	own     map[string]int
	running []attempt
	// added counts the times that each replica was added.
	added map[string]int
}

// attempt is a choice with the incarnation of its replica.
type attempt struct {
	choice route.Choice
	added  int
}

func drawID(t *rapid.T) string {
	return fmt.Sprintf("i-%d", rapid.IntRange(0, 7).Draw(t, "id"))
}

func (m *model) upsert(t *rapid.T) {
	id := drawID(t)
	if _, known := m.takes[id]; known {
		return
	}
	state := rapid.SampledFrom([]fleet.State{fleet.Live, fleet.Starting}).Draw(t, "state")
	m.r.Upsert(route.Replica{ID: id, Pool: "p", Model: "m", Address: "a", MaxConcurrent: modelLimit, State: state})
	m.takes[id] = state == fleet.Live
	m.own[id] = 0
	m.added[id]++
}

func (m *model) leave(t *rapid.T) {
	id := drawID(t)
	m.r.SetLeaving(id)
	if _, known := m.takes[id]; known {
		m.takes[id] = false
	}
}

func (m *model) remove(t *rapid.T) {
	id := drawID(t)
	m.r.Remove(id)
	delete(m.takes, id)
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
	if !m.takes[c.ID] {
		t.Fatalf("%s takes no work and was chosen", c.ID)
	}
	if len(job.Avoid) > 0 && c.ID == job.Avoid[0] {
		t.Fatalf("%s was tried before and was chosen", c.ID)
	}
	m.own[c.ID]++
	if m.own[c.ID] > modelLimit {
		t.Fatalf("%s runs %d requests", c.ID, m.own[c.ID])
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
		m.own[c.ID]--
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

func TestOnlyReplicasThatTakeWorkAreChosen(t *testing.T) {
	for _, policy := range policies {
		t.Run(string(policy), rapid.MakeCheck(func(t *rapid.T) {
			m := &model{r: route.New(route.Config{Policy: policy}), takes: map[string]bool{}, own: map[string]int{}, added: map[string]int{}}
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
