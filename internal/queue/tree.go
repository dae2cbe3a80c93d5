package queue

import (
	"github.com/cespare/xxhash/v2"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// tree is a treap of waiting jobs in the order in which they are served. Each node knows, per
// resource, the smallest amount that any job below it asks for, so that a search skips whole
// branches that fit nowhere. Node priorities come from a hash of the job ID: the same jobs always
// make the same tree.
type tree[H any] struct {
	root *node[H]
	len  int
}

// node is a waiting job in the tree. minSize is the smallest amount of each resource in its subtree.
type node[H any] struct {
	entry       *Entry[H]
	priority    uint64
	left, right *node[H]
	minSize     placement.Size
}

func (n *node[H]) updateMinSize() {
	n.minSize = n.entry.Job.TaskSize
	for _, child := range [2]*node[H]{n.left, n.right} {
		if child != nil {
			n.minSize = placement.Min(n.minSize, child.minSize)
		}
	}
}

func (t *tree[H]) insert(entry *Entry[H]) *node[H] {
	n := &node[H]{entry: entry, priority: xxhash.Sum64String(entry.Job.ID)}
	n.updateMinSize()
	t.len++
	t.root = insertNode(t.root, n)
	return n
}

// insertNode inserts n and returns the new root. Parents have higher priorities than their children.
func insertNode[H any](root, n *node[H]) *node[H] {
	switch {
	case root == nil:
		return n
	case n.priority > root.priority:
		n.left, n.right = split(root, n.entry)
		n.updateMinSize()
		return n
	case servedBefore(n.entry, root.entry):
		root.left = insertNode(root.left, n)
	default:
		root.right = insertNode(root.right, n)
	}
	root.updateMinSize()
	return root
}

// split divides a tree into the jobs that are served before entry, and the rest.
func split[H any](root *node[H], entry *Entry[H]) (left, right *node[H]) {
	if root == nil {
		return nil, nil
	}
	if servedBefore(root.entry, entry) {
		root.right, right = split(root.right, entry)
		root.updateMinSize()
		return root, right
	}
	left, root.left = split(root.left, entry)
	root.updateMinSize()
	return left, root
}

func (t *tree[H]) remove(entry *Entry[H]) {
	t.len--
	t.root = removeNode(t.root, entry)
}

// removeNode removes the node of entry and returns the new root.
func removeNode[H any](root *node[H], entry *Entry[H]) *node[H] {
	switch {
	case root.entry == entry:
		return join(root.left, root.right)
	case servedBefore(entry, root.entry):
		root.left = removeNode(root.left, entry)
	default:
		root.right = removeNode(root.right, entry)
	}
	root.updateMinSize()
	return root
}

// join returns one tree of two, where all jobs in left are served before those in right.
func join[H any](left, right *node[H]) *node[H] {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = join(left.right, right)
		left.updateMinSize()
		return left
	}
	right.left = join(left, right.left)
	right.updateMinSize()
	return right
}

// first returns the first job whose tasks fit into the free capacity, or nil.
func (t *tree[H]) first(free placement.Size) *Entry[H] { return find(t.root, nil, free) }

// after returns the next job after entry whose tasks fit into the free capacity, or nil.
func (t *tree[H]) after(entry *Entry[H], free placement.Size) *Entry[H] {
	return find(t.root, entry, free)
}

// find returns the first job after a job, or of all if after is nil, whose tasks fit; nil if there is none.
func find[H any](root *node[H], after *Entry[H], free placement.Size) *Entry[H] {
	if root == nil || !placement.Fits(free, root.minSize) {
		return nil
	}
	if after != nil && !servedBefore(after, root.entry) {
		return find(root.right, after, free)
	}
	if found := find(root.left, after, free); found != nil {
		return found
	}
	if placement.Fits(free, root.entry.Job.TaskSize) {
		return root.entry
	}
	return find(root.right, nil, free)
}
