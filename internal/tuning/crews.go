package tuning

import "time"

// Departures of crews.
const (
	// CrewPlanInterval (duration) is the interval between plans of departures.
	CrewPlanInterval = 1 * time.Second
	// CrewClockMargin (duration) is kept free before a departure for the bound on the
	// difference between the controllers' wall clocks.
	CrewClockMargin = 1 * time.Second
	// CrewTakeoverMargin (duration) is kept free before a departure for a takeover in which all
	// machines have to be accounted for.
	CrewTakeoverMargin = 10 * time.Second
	// CrewFailureShare (share) is kept free before a departure for work that is done again.
	CrewFailureShare = 0.1
	// CrewUrgentBefore (duration) is how long before its latest start the work of a departure is
	// served ahead of other routine work.
	CrewUrgentBefore = 15 * time.Second
	// CrewTaskRounds (rounds) is how many expected tasks run one after another in one place. Two
	// rounds need half the machines of one round and take one task's time more.
	CrewTaskRounds = 2
	// CrewMissedAfter (duration) is how long after a departure work that is still not done
	// counts as late by at least this time.
	CrewMissedAfter = 10 * time.Minute
	// CrewHistoryEntries (entries) is how many past departures and changes a record keeps.
	CrewHistoryEntries = 20
	// MaxCrews (crews) is the most crews; each costs one plan per second.
	MaxCrews = 200
)
