package checker

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// refusalReason returns the reason for which PROTOCOL requires a job to be refused, or "" if it may be
// accepted. It evaluates the submission independently of the validation in the service.
func (c *Checker) refusalReason(s *wire.JobSpec) string {
	if lacksField(s) {
		return "a field is missing"
	}
	limit, known := c.params.Teams[*s.Team]
	if !known {
		return "its team is unknown"
	}
	tasks := 1.0
	if *s.Shape != wire.ShapeBatch {
		tasks = float64(*s.Tasks)
	}
	if tasks**s.CPUs > limit.CPUs+tolerance || tasks**s.GPUs > limit.GPUs+tolerance {
		return "it needs more than its team's limit"
	}
	for _, t := range c.params.Types {
		if (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && (s.Zone == nil || slices.Contains(t.Zones, *s.Zone)) &&
			*s.CPUs <= t.CPUs+tolerance && *s.GPUs <= t.GPUs+tolerance && *s.MemoryGB <= t.MemoryGB+tolerance {
			return ""
		}
	}
	if len(c.params.Types) == 0 {
		return ""
	}
	return "a task fits no allowed machine type"
}

// lacksField reports whether a required field is missing.
func lacksField(s *wire.JobSpec) bool {
	return s.ID == nil || s.Class == nil || s.Team == nil || s.Shape == nil || s.Priority == nil || s.Tasks == nil ||
		s.CPUs == nil || s.GPUs == nil || s.MemoryGB == nil || s.OneZone == nil || s.Spread == nil || s.Spot == nil ||
		s.Image == nil || s.ImageGB == nil || s.EstimateS == nil || s.CheckpointEvery == nil || s.SaveS == nil
}
