package tuning

import "time"

// Images that many machines fetch at once.
const (
	// MinSharedImageMachines (machines) is how many machines have to want an image at a time
	// before its distribution is planned; the store serves fewer as quickly.
	MinSharedImageMachines = 4
	// ImagePlanInterval (duration) is the interval between plans for these images; a plan is one
	// change for each image and stage.
	ImagePlanInterval = 1500 * time.Millisecond
	// FetchRecordTTL (duration) is how long the records of other holders about fetches count.
	FetchRecordTTL = 2 * time.Minute
	// SharedImageIdleFactor (multiple) is how many times as long an idle machine is kept that
	// has such an image.
	SharedImageIdleFactor = 3
	// HandOnDegree (machines) is to how many machines one machine hands an image on at a time,
	// and HandOnSources (machines) how many sources are named to one machine. With two of each,
	// a machine gets half of its rate from either of two sources and gives half of it to either
	// of two others, so that all machines fetch at their own rate.
	HandOnDegree  = 2
	HandOnSources = 2
	// HandOnRoots (machines) is how many machines of a zone fetch an image from the store while
	// the store's rate is not known; two, because one may fail.
	HandOnRoots = 2
	// LocalImageWait (duration) is how long a job may be passed over on machines without its
	// image; a fetch takes about three times as long.
	LocalImageWait = 4 * time.Second
	// LocalImageJobs (jobs) is how many of the next jobs are searched for one whose image is on
	// the machine.
	LocalImageJobs = 24
	// LocalImageMachines (machines) is how many machines one choice may leave to other jobs for
	// this reason.
	LocalImageMachines = 4
)

// Measurement of the image store's rate.
const (
	// MinStoreSampleFetches (fetches) is how many fetches a measurement of the store needs.
	MinStoreSampleFetches = 8
	// StoreBoundShare (share of a machine's own rate) is the most that a machine gets when the
	// store is the bottleneck; rates of one machine type differ by a third.
	StoreBoundShare = 0.5
	// StoreFetchFactor (multiple of the fetches that would use up the store) is how many fetches
	// are allowed, since the rates of one machine type differ by a third.
	StoreFetchFactor = 1.25
	// MinStoreSampleDuration (duration) is the shortest fetch that is measured, since reports
	// announce the end of a fetch up to half a second late.
	MinStoreSampleDuration = 3 * time.Second
	// StoreSampleTTL (duration) is how long a measurement counts.
	StoreSampleTTL = 10 * time.Minute
)
