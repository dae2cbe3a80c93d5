package queue

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// tree is a treap of waiting jobs in the order they are served. Each node knows the
// least that any job below it asks of each resource, so that a search passes over
// whole branches that fit nowhere. Heights come from a hash of the id: the same jobs
// make the same tree.
type tree[H any] struct {
	root *node[H]
	len  int
}

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
			n.minSize = placement.Size{CPUs: math.Min(n.minSize.CPUs, child.minSize.CPUs), GPUs: math.Min(n.minSize.GPUs, child.minSize.GPUs), MemGB: math.Min(n.minSize.MemGB, child.minSize.MemGB)}
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

// split parts a tree into what is served before a job and the rest.
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

// first is the first job that asks for no more than there is.
func (t *tree[H]) first(free placement.Size) *Entry[H] { return find(t.root, nil, free) }

// after is the first such job after p in the order.
func (t *tree[H]) after(entry *Entry[H], free placement.Size) *Entry[H] {
	return find(t.root, entry, free)
}

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
