package batchrun

import "slices"

// Partial is the output that has been generated for a sample so far.
type Partial struct {
	Text   []byte `json:"text"`
	Events int    `json:"events"`
	// Versions are the weight versions that generated an event, ascending and unique.
	Versions []int `json:"versions"`
	// Software is the version of the software that generated the events. No other version can
	// continue them.
	Software string `json:"software"`
}

// Clone returns a deep copy of p.
func (p *Partial) Clone() Partial {
	return Partial{Text: slices.Clone(p.Text), Events: p.Events, Versions: slices.Clone(p.Versions), Software: p.Software}
}

// Size returns the memory that the output takes, in bytes.
func (p *Partial) Size() int {
	const versionBytes = 8
	return len(p.Text) + versionBytes*len(p.Versions)
}

// Add appends the data of an event that an endpoint with the given weight version and software
// generated. Events are separated by line feeds.
func (p *Partial) Add(data string, version int, software string) {
	p.Software = software
	if p.Events > 0 {
		p.Text = append(p.Text, '\n')
	}
	p.Text = append(p.Text, data...)
	p.Events++
	if index, found := slices.BinarySearch(p.Versions, version); !found {
		p.Versions = slices.Insert(p.Versions, index, version)
	}
}
