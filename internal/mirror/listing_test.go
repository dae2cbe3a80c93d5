package mirror

import (
	"slices"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// A listing begins at the revision of its first page, whatever the later pages show, and is complete with
// the last page or an empty one.
func TestListing(t *testing.T) {
	var listing Listing
	page := func(revision uint64, more bool, keys ...string) wire.ItemList {
		list := wire.ItemList{Revision: revision, More: more}
		for _, key := range keys {
			list.Items = append(list.Items, wire.Item{Key: key, Version: revision})
		}
		return list
	}
	if after, complete := listing.Add(page(40, true, "a", "b")); after != "b" || complete || !listing.Consistent() {
		t.Errorf("after the first page: %q, complete %v, consistent %v", after, complete, listing.Consistent())
	}
	if after, complete := listing.Add(page(50, true, "c")); after != "c" || complete {
		t.Errorf("after the second page: %q, complete %v", after, complete)
	}
	if _, complete := listing.Add(page(60, true)); !complete {
		t.Error("a page without keys does not end the list")
	}
	if listing.Consistent() {
		t.Error("pages of several revisions count as one moment")
	}
	if listing.Revision() != 40 || len(listing.Items()) != 3 {
		t.Errorf("revision %d with %d records, want 40 with 3", listing.Revision(), len(listing.Items()))
	}
	if missing := listing.Missing([]string{"a", "x", "c", "y"}); !slices.Equal(missing, []string{"x", "y"}) {
		t.Errorf("missing %v", missing)
	}
}
