package wire

// States of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// MachineType is one type of machine that the cloud rents out. Prices are per hour, BootS is the
// usual time of a boot in seconds.
type MachineType struct {
	Name      string   `cbor:"sku"`
	CPUs      float64  `cbor:"cpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"memory_gb"`
	CacheGB   float64  `cbor:"local_gb"`
	FetchGBps float64  `cbor:"pull_gb_per_s"`
	Price     float64  `cbor:"hourly"`
	SpotPrice float64  `cbor:"low_price"`
	BootS     float64  `cbor:"ready_s"`
	Zones     []string `cbor:"yards"`
}

// MachineTypes is the answer to GET /machine_types.
type MachineTypes struct {
	Types []MachineType `cbor:"flavours"`
}

// RentRequest is the body of POST /hosts.
type RentRequest struct {
	Request string `cbor:"booking"`
	Type    string `cbor:"flavour"`
	Zone    string `cbor:"yard"`
	Spot    bool   `cbor:"lendable"`
	Count   int    `cbor:"count"`
}

// MachineNames is the answer to a rental and the body of a deletion.
type MachineNames struct {
	Machines []string `cbor:"hosts"`
}

// MachineInfo is one machine of the cloud's list.
type MachineInfo struct {
	Name   string  `cbor:"name_id"`
	Addr   string  `cbor:"endpoint"`
	Type   string  `cbor:"flavour"`
	Zone   string  `cbor:"yard"`
	Spot   bool    `cbor:"lendable"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"age_s"`
}

// MachineList is one page of the answer to GET /hosts.
type MachineList struct {
	Machines []MachineInfo `cbor:"hosts"`
	More     bool          `cbor:"more"`
}
