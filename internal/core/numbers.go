package core

// incarnationShift is how many bits of a number count what an incarnation of this controller has numbered.
const incarnationShift = 32

// uniqueNumber turns a count of this incarnation into a number that no other incarnation uses. An answer
// names its message by number alone, and may come when the controller that asked has ended and is back;
// a worker knows an attempt by its task and number alone.
func (c *Core) uniqueNumber(count uint64) uint64 {
	return c.presence.Boot()<<incarnationShift | count&(1<<incarnationShift-1)
}

// attemptNumber returns the number of the latest attempt.
func (c *Core) attemptNumber() uint64 { return c.uniqueNumber(c.lastAttemptNumber) }
