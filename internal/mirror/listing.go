package mirror

import "github.com/barrowbridge/barrowbridge/wire"

// Listing collects the pages of a list of all keys. Each page shows the keys as they were when it was read.
// If changes were made meanwhile, the pages together show no moment: a record on a later page may be newer
// than one on an earlier page that it rests on. Such a listing is used only together with all changes made
// since its first page was read.
type Listing struct {
	revision uint64 // revision of the first page; 0: no page was read yet
	latest   uint64 // revision of the last page
	items    []wire.Item
}

// Add adds the next page. It returns the key after which the following page begins, and whether this was
// the last page.
func (l *Listing) Add(page wire.ItemList) (after string, complete bool) {
	if l.revision == 0 {
		l.revision = page.Revision
	}
	l.latest = page.Revision
	l.items = append(l.items, page.Items...)
	if len(page.Items) > 0 {
		after = page.Items[len(page.Items)-1].Key
	}
	return after, !page.More || len(page.Items) == 0
}

// Revision returns the revision of the first page. The changes after it complete the listing.
func (l *Listing) Revision() uint64 { return l.revision }

// Consistent reports whether nothing was changed while the pages were read, so that they show one moment.
func (l *Listing) Consistent() bool { return l.latest == l.revision }

// Items returns the records of all pages, in the order of their keys.
func (l *Listing) Items() []wire.Item { return l.items }

// Missing returns those of the given keys that are on no page.
func (l *Listing) Missing(keys []string) (missing []string) {
	listed := make(map[string]bool, len(l.items))
	for i := range l.items {
		listed[l.items[i].Key] = true
	}
	for _, key := range keys {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	return missing
}
