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
	p           *Entry[H]
	height      uint64
	left, right *node[H]
	least       placement.Size
}

func (n *node[H]) update() {
	n.least = n.p.Job.TaskSize
	for _, c := range [2]*node[H]{n.left, n.right} {
		if c != nil {
			n.least = placement.Size{CPUs: math.Min(n.least.CPUs, c.least.CPUs), GPUs: math.Min(n.least.GPUs, c.least.GPUs), MemGB: math.Min(n.least.MemGB, c.least.MemGB)}
		}
	}
}

func (t *tree[H]) insert(p *Entry[H]) *node[H] {
	n := &node[H]{p: p, height: xxhash.Sum64String(p.Job.ID)}
	n.update()
	t.len++
	t.root = put(t.root, n)
	return n
}

func put[H any](at, n *node[H]) *node[H] {
	switch {
	case at == nil:
		return n
	case n.height > at.height:
		n.left, n.right = split(at, n.p)
		n.update()
		return n
	case before(n.p, at.p):
		at.left = put(at.left, n)
	default:
		at.right = put(at.right, n)
	}
	at.update()
	return at
}

// split parts a tree into what is served before a job and the rest.
func split[H any](at *node[H], p *Entry[H]) (l, r *node[H]) {
	if at == nil {
		return nil, nil
	}
	if before(at.p, p) {
		at.right, r = split(at.right, p)
		at.update()
		return at, r
	}
	l, at.left = split(at.left, p)
	at.update()
	return l, at
}

func (t *tree[H]) remove(p *Entry[H]) {
	t.len--
	t.root = cut(t.root, p)
}

func cut[H any](at *node[H], p *Entry[H]) *node[H] {
	switch {
	case at.p == p:
		return join(at.left, at.right)
	case before(p, at.p):
		at.left = cut(at.left, p)
	default:
		at.right = cut(at.right, p)
	}
	at.update()
	return at
}

func join[H any](l, r *node[H]) *node[H] {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.height > r.height:
		l.right = join(l.right, r)
		l.update()
		return l
	}
	r.left = join(l, r.left)
	r.update()
	return r
}

// first is the first job that asks for no more than there is.
func (t *tree[H]) first(most placement.Size) *Entry[H] { return find(t.root, nil, most) }

// after is the first such job after p in the order.
func (t *tree[H]) after(p *Entry[H], most placement.Size) *Entry[H] { return find(t.root, p, most) }

func find[H any](at *node[H], p *Entry[H], most placement.Size) *Entry[H] {
	if at == nil || !placement.Fits(most, at.least) {
		return nil
	}
	if p != nil && !before(p, at.p) {
		return find(at.right, p, most)
	}
	if x := find(at.left, p, most); x != nil {
		return x
	}
	if placement.Fits(most, at.p.Job.TaskSize) {
		return at.p
	}
	return find(at.right, nil, most)
}
