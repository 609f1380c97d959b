package routes

import (
	"slices"
	"sort"
)

// tree finds the longest of many prefixes. It is a radix tree in which each node with routes knows the one of the next
// shorter prefix.
type tree struct{ root node }

type node struct {
	text   string // from the node above to here
	edges  []edge // sorted by their first byte
	routes []*compiled
	up     *node // the nearest above with routes
}

// edge leads to a node below. The first byte of the node's text stands beside the pointer, so that a search touches no
// node that is not on its way.
type edge struct {
	first byte
	node  *node
}

// add adds a route at its prefix.
func (t *tree) add(prefix string, route *compiled) {
	n := &t.root
	for prefix != "" {
		n, prefix = n.descend(prefix)
	}
	first := n.routes == nil
	n.routes = append(n.routes, route)
	if first {
		n.linkBelow(n)
	}
}

// descend returns the node below on the way to a prefix, made if there is none, and the rest of the prefix.
func (n *node) descend(prefix string) (*node, string) {
	i := sort.Search(len(n.edges), func(i int) bool { return n.edges[i].first >= prefix[0] })
	if i == len(n.edges) || n.edges[i].first != prefix[0] {
		leaf := &node{text: prefix, up: n.nearest()}
		n.edges = slices.Insert(n.edges, i, edge{prefix[0], leaf})
		return leaf, ""
	}
	child := n.edges[i].node
	common := commonPrefix(child.text, prefix)
	if common < len(child.text) {
		child = child.split(common)
		n.edges[i].node = child
	}
	return child, prefix[common:]
}

// split inserts a node above this one after so many bytes of its text, and returns it.
func (n *node) split(length int) *node {
	middle := &node{text: n.text[:length], edges: []edge{{n.text[length], n}}, up: n.up}
	n.text = n.text[length:]
	return middle
}

func commonPrefix(a, b string) int {
	length := 0
	for length < len(a) && length < len(b) && a[length] == b[length] {
		length++
	}
	return length
}

// nearest returns this node if it has routes, or the nearest above that has.
func (n *node) nearest() *node {
	if n.routes != nil {
		return n
	}
	return n.up
}

// linkBelow makes a node the nearest with routes of all below this one that have none between.
func (n *node) linkBelow(nearest *node) {
	for _, e := range n.edges {
		e.node.up = nearest
		if e.node.routes == nil {
			e.node.linkBelow(nearest)
		}
	}
}

// longest returns the node of the longest prefix of a path that has routes; nil: none.
func (t *tree) longest(path string) *node {
	n := &t.root
	best := n
	for {
		if n.routes != nil {
			best = n
		}
		if path == "" {
			break
		}
		child := n.child(path[0])
		if child == nil || len(path) < len(child.text) || path[:len(child.text)] != child.text {
			break
		}
		n, path = child, path[len(child.text):]
	}
	if best.routes == nil {
		return nil
	}
	return best
}

// child returns the node below whose text begins with a byte; nil: none.
func (n *node) child(first byte) *node {
	low, high := 0, len(n.edges)
	for low < high {
		if middle := (low + high) / 2; n.edges[middle].first < first {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(n.edges) || n.edges[low].first != first {
		return nil
	}
	return n.edges[low].node
}
