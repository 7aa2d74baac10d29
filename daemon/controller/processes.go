package controller

import (
	"slices"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// processes is what the planner knows of the processes of the system.
type processes struct {
	members []spread.Member
	// versions holds the latest version that each process is known to have.
	versions map[string]uint64
}

func newProcesses() *processes {
	return &processes{versions: make(map[string]uint64)}
}

// set replaces the list of processes.
func (p *processes) set(members []spread.Member) {
	p.members = members
	known := make(map[string]uint64, len(members))
	for _, m := range members {
		known[m.ID] = p.versions[m.ID]
	}
	p.versions = known
}

// take notes which processes have a version.
func (p *processes) take(progress *spread.Progress) {
	for _, id := range progress.Holders {
		p.versions[id] = max(p.versions[id], progress.Version)
	}
}

// list lists the processes that are not gone.
func (p *processes) list() []operator.Process {
	list := []operator.Process{}
	for _, m := range p.members {
		if m.State != spread.Gone {
			list = append(list, p.process(m.ID))
		}
	}
	return list
}

// without names the live processes that are not known to have a version.
func (p *processes) without(version uint64) []string {
	var ids []string
	for _, m := range p.members {
		if m.State != spread.Gone && p.versions[m.ID] < version {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// named lists some processes.
func (p *processes) named(ids []string) []operator.Process {
	list := make([]operator.Process, 0, len(ids))
	for _, id := range ids {
		list = append(list, p.process(id))
	}
	return list
}

func (p *processes) process(id string) operator.Process {
	role, instance, _ := strings.Cut(id, "/")
	process := operator.Process{Instance: instance, Role: role, Version: p.versions[id]}
	at := slices.IndexFunc(p.members, func(m spread.Member) bool { return m.ID == id })
	if at >= 0 {
		process.FailureDomain = p.members[at].FailureDomain
	}
	return process
}
