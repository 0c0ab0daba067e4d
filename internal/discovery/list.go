package discovery

// List is discovery's answer.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Destination int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // up, draining or removed; anything else is taken for draining
	Weight      float64 `json:"weight"`    // calls a second that the destination takes, where the settings say so
}

// Update is an answer of discovery, reduced to what differs from the directory. It is to be applied before the next
// answer is compared.
type Update struct {
	Generation       int64
	Whole            bool       // the answer was a whole list
	Rows             []Instance // what the list no longer has comes first, as removed
	UnusableRows     int        // rows of the answer that made no sense; what they name stays as it was
	DuplicateRows    int        // rows of the answer with the id of an earlier one, which they replace
	OmittedEndpoints int        // set by Apply: listed endpoints that the module is not told of, as their destinations have so many
}
