package checker

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// unfit tells why PROTOCOL has a job refused, "" if it may be accepted. It reads the submission
// by itself: what the service makes of it has no part in this.
func (c *Checker) unfit(s *wire.JobSpec) string {
	if lacksField(s) {
		return "a field is missing"
	}
	limit, known := c.p.Teams[*s.Team]
	if !known {
		return "its team is unknown"
	}
	tasks := 1.0
	if *s.Shape != wire.ShapeBatch {
		tasks = float64(*s.Tasks)
	}
	if tasks**s.CPUs > limit.CPUs+slack || tasks**s.GPUs > limit.GPUs+slack {
		return "it needs more than its team's limit"
	}
	for _, t := range c.p.Types {
		if (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && (s.Zone == nil || slices.Contains(t.Zones, *s.Zone)) &&
			*s.CPUs <= t.CPUs+slack && *s.GPUs <= t.GPUs+slack && *s.MemoryGB <= t.MemoryGB+slack {
			return ""
		}
	}
	if len(c.p.Types) == 0 {
		return ""
	}
	return "a task fits no allowed machine type"
}

// lacksField tells whether a field is missing that may not be.
func lacksField(s *wire.JobSpec) bool {
	return s.ID == nil || s.Class == nil || s.Team == nil || s.Shape == nil || s.Priority == nil || s.Tasks == nil ||
		s.CPUs == nil || s.GPUs == nil || s.MemoryGB == nil || s.OneZone == nil || s.Spread == nil || s.Spot == nil ||
		s.Image == nil || s.ImageGB == nil || s.EstimateS == nil || s.CheckpointEvery == nil || s.SaveS == nil
}
