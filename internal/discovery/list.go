// This file holds the types of discovery's answers (List, Instance) and of what they change in the directory (Update).

package discovery

// List is an answer of discovery: the whole list, or the instances that changed since a generation.
type List struct {
	Generation int64      `json:"generation"` // version of the list; rises with each change
	Reset      bool       `json:"reset"`      // the answer is the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID          string `json:"instanceId"` // the endpoint's name
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	Destination int64  `json:"cell"`
	Lifecycle   string `json:"lifecycle"` // up, draining or removed; any other value counts as draining
	// Rate limit of the destination in calls per second, if the settings give weights this meaning.
	Weight float64 `json:"weight"`
}

// Update is an answer of discovery, reduced to the rows that differ from the directory. It has to be applied to the
// directory before the next answer is compared with it.
type Update struct {
	Generation    int64
	Whole         bool       // the answer was a whole list
	Rows          []Instance // endpoints that are missing from a whole list come first, as removed
	UnusableRows  int        // malformed rows of the answer; the endpoints they name stay unchanged
	DuplicateRows int        // rows of the answer that repeat the name of an earlier row, which they replace
	// Set by Apply: the number of listed endpoints that the decision logic does not get, as their destinations have too
	// many.
	OmittedEndpoints int
}
