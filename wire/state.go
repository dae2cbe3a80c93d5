package wire

// Item is a key of the state service with its value.
type Item struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
	Lease   uint64 `cbor:"permit,omitempty"`
}

// ItemList is one page of the answer to GET /store.
type ItemList struct {
	Items    []Item `cbor:"items"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"epoch"`
}

// Absent is the answer to GET /store/{key} for a key that does not exist.
type Absent struct {
	Revision uint64 `cbor:"epoch"`
}

// Condition is one condition of a transaction: the key has this version, or is absent if that is 0.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"stamp"`
}

// Change is one change of a transaction: a put or a delete.
type Change struct {
	Put    string `cbor:"set,omitempty"`
	Value  any    `cbor:"v,omitempty"`
	Lease  uint64 `cbor:"permit,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Txn is the body of POST /commit.
type Txn struct {
	If   []Condition `cbor:"when"`
	Then []Change    `cbor:"apply,omitempty"`
}

// TxnReply is the answer to POST /commit. Failed holds the keys whose conditions did not hold.
type TxnReply struct {
	Revision uint64   `cbor:"epoch"`
	Failed   []string `cbor:"failed,omitempty"`
}

// LeaseRequest is the body of POST /grants.
type LeaseRequest struct {
	TTLMS int64 `cbor:"life_ms"`
}

// LeaseReply is the answer to POST /grants.
type LeaseReply struct {
	Lease uint64 `cbor:"permit"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	Version uint64 `cbor:"stamp"`
	Delete  string `cbor:"delete,omitempty"`
}

// Events is the answer to GET /changes.
type Events struct {
	Revision uint64  `cbor:"epoch"`
	Events   []Event `cbor:"news"`
}
