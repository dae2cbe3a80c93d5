package core

import (
	records "github.com/barrowbridge/barrowbridge/internal/mirror"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// maintainMirror reads all live keys once and then watches their changes.
func (c *Core) maintainMirror() {
	if c.presence.Boot() == 0 {
		return
	}
	if !c.loaded && !c.loading && c.dueEvery("load", tuning.BackgroundRetryDelay) {
		c.startListing()
	}
	if c.loaded && !c.watching && c.now >= c.notBefore["watch"] {
		c.watching = true
		sent := c.now
		c.callState(StateCall{
			Op:       OpWatch,
			Key:      wire.LivePrefix,
			Revision: c.mirrorRevision,
			Hold:     min(tuning.WatchMaxWait, c.maxUnconfirmed()/4),
		}, func(reply StateReply) {
			c.watching = false
			switch reply.Status {
			case 200:
				c.presence.WatchAnswered(sent)
				c.applyEvents(&reply.Events)
				c.maintainMirror()
				c.mirrorChanged()
			case 410:
				c.log(1, "watch revision is too old, reading all keys again")
				c.watching = true // blocks another watch until the list has been read
				c.startListing()
			default:
				c.log(2, "watch failed", "status", reply.Status, "err", reply.Err)
				c.notBefore["watch"] = c.now + tuning.BackgroundRetryDelay
			}
		})
	}
}

// applyEvents applies changes to the mirror. Two calls may return the same changes, and a later answer
// of one call may arrive before an earlier answer of the other. Each event is therefore applied by its
// own revision.
func (c *Core) applyEvents(events *wire.Events) {
	for _, event := range events.Events {
		if event.Put != "" {
			c.applyPut(event.Put, event.Value, event.Version)
		} else {
			c.applyDelete(event.Delete, event.Version)
		}
	}
	c.mirrorRevision = max(c.mirrorRevision, events.Revision)
	c.versions.Forget(c.mirrorRevision, c.oldestCall)
	c.startHoldingShards()
}

// startListing begins to read all live keys.
func (c *Core) startListing() {
	c.loading, c.listing = true, &records.Listing{}
	c.readPage("")
}

// listingFailed gives up the list that is being read. It is tried again later.
func (c *Core) listingFailed(reply StateReply) {
	c.loading, c.watching, c.listing = false, false, nil
	if c.loaded {
		c.notBefore["watch"] = c.now + tuning.BackgroundRetryDelay
	}
	c.log(0, "cannot list the state", "status", reply.Status, "err", reply.Err)
}

// readPage reads the list of live keys from the key after the given one, page by page. If changes were made
// meanwhile, it reads these after the last page. Only then does the list enter the mirror.
func (c *Core) readPage(after string) {
	sent := c.now
	c.callState(StateCall{Op: OpList, Key: wire.LivePrefix, After: after}, func(reply StateReply) {
		if reply.Status != 200 {
			c.listingFailed(reply)
			return
		}
		if last, complete := c.listing.Add(reply.List); !complete {
			c.readPage(last)
			return
		}
		if c.listing.Consistent() {
			c.presence.WatchAnswered(sent)
			c.applyListing(&wire.Events{Revision: c.listing.Revision()})
			return
		}
		sent = c.now
		c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.listing.Revision()}, func(reply StateReply) {
			if reply.Status != 200 {
				c.listingFailed(reply)
				return
			}
			c.presence.WatchAnswered(sent)
			c.applyListing(&reply.Events)
		})
	})
}

// applyListing puts a complete list and the changes made while its pages were read into the mirror, in one
// step. Keys that the list does not contain are deleted from the mirror.
func (c *Core) applyListing(changes *wire.Events) {
	listing := c.listing
	c.loading, c.watching, c.listing = false, false, nil
	for _, item := range listing.Items() {
		c.applyPut(item.Key, item.Value, item.Version)
	}
	for _, key := range listing.Missing(c.versions.Keys()) {
		c.applyDelete(key, listing.Revision())
	}
	c.versions.MarkRead(listing.Revision())
	c.applyEvents(changes)
	if !c.loaded {
		c.loaded = true
		for _, id := range c.blockIDs() {
			c.trackProvisioning(nil, c.blocks[id])
		}
		c.recordEvent(wire.TrailEvent{Kind: trail.Began, Count: len(c.jobs)})
		c.log(1, "state loaded", "jobs", len(c.jobs), "blocks", len(c.blocks), "revision", c.mirrorRevision)
		c.reclaimShards()
	}
	c.maintainMirror()
	c.mirrorChanged()
}

// refreshMirror updates the mirror with everything that was written before this call, and calls done
// with whether that succeeded.
func (c *Core) refreshMirror(done func(ok bool)) {
	if !c.loaded || c.loading {
		done(false)
		return
	}
	c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.mirrorRevision}, func(r StateReply) {
		if r.Status == 200 {
			c.applyEvents(&r.Events)
			c.mirrorChanged()
		}
		done(r.Status == 200 && !c.loading)
	})
}

// catchUp has the changes read that the mirror lacks after a write that met a conflict or got no answer.
// They enter the mirror in the order in which they were written. When the changed keys were read one by
// one instead, a controller that was cut off saw the starts that its successor had recorded before it saw
// that the shard was its successor's, and made these starts too.
func (c *Core) catchUp() {
	c.catchUps.Need()
	c.sendCatchUp()
}

// sendCatchUp reads the changes if that is needed and no such read is in flight.
func (c *Core) sendCatchUp() {
	if !c.loaded || c.loading || !c.catchUps.Start(c.now) {
		return
	}
	c.refreshMirror(func(ok bool) {
		c.catchUps.Finished()
		c.log(2, "changes read after a failed write", "ok", ok, "mirror", c.mirrorRevision)
		c.sendCatchUp()
	})
}
