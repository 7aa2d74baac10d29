package controller

import (
	"slices"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// processes tracks the processes of the system and their configuration
// versions.
type processes struct {
	members []spread.Member
	// versions holds the latest version that each process is known to have.
	versions map[string]uint64
}

func newProcesses() *processes {
	return &processes{versions: make(map[string]uint64)}
}

// replace replaces the list of processes and keeps the known versions.
func (p *processes) replace(members []spread.Member) {
	p.members = members
	known := make(map[string]uint64, len(members))
	for _, m := range members {
		known[m.ID] = p.versions[m.ID]
	}
	p.versions = known
}

// recordProgress records which processes have a version.
func (p *processes) recordProgress(progress *spread.Progress) {
	for _, id := range progress.Holders {
		p.versions[id] = max(p.versions[id], progress.Version)
	}
}

// activeStatuses returns the statuses of the processes that are not gone.
func (p *processes) activeStatuses() []operator.Process {
	list := []operator.Process{}
	for _, m := range p.members {
		if m.State != spread.Gone {
			list = append(list, p.status(m.ID))
		}
	}
	return list
}

// lacking returns the IDs of the processes that are not gone and not known to
// have a version.
func (p *processes) lacking(version uint64) []string {
	var ids []string
	for _, m := range p.members {
		if m.State != spread.Gone && p.versions[m.ID] < version {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// statuses returns the statuses of the processes with the given IDs.
func (p *processes) statuses(ids []string) []operator.Process {
	list := make([]operator.Process, 0, len(ids))
	for _, id := range ids {
		list = append(list, p.status(id))
	}
	return list
}

func (p *processes) status(id string) operator.Process {
	role, instance, _ := strings.Cut(id, "/")
	process := operator.Process{Instance: instance, Role: role, Version: p.versions[id]}
	at := slices.IndexFunc(p.members, func(m spread.Member) bool { return m.ID == id })
	if at >= 0 {
		process.FailureDomain = p.members[at].FailureDomain
	}
	return process
}
