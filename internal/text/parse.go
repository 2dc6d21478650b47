package text

import (
	"time"

	"github.com/goccy/go-yaml"
)

// Parse reads a configuration text and fills in defaults. The text is valid
// only when no faults are returned.
func Parse(data []byte) (*Text, []Fault) {
	if len(data) > MaxBytes {
		return nil, []Fault{{Kind: "size", Message: "text is larger than 1 MiB"}}
	}
	var t Text
	if err := yaml.UnmarshalWithOptions(data, &t, yaml.Strict()); err != nil {
		return nil, []Fault{{Kind: "syntax", Message: err.Error()}}
	}
	fillDefaults(&t)
	return &t, nil
}

func fillDefaults(t *Text) {
	if t.RecordRetention == 0 {
		t.RecordRetention = time.Hour
	}
	for i := range t.Regions {
		for j := range t.Regions[i].DataCentres {
			if t.Regions[i].DataCentres[j].State == "" {
				t.Regions[i].DataCentres[j].State = In
			}
		}
	}
	for i := range t.Services {
		fillService(&t.Services[i])
	}
}

func fillService(s *Service) {
	if s.Slices == 0 {
		s.Slices = 64
	}
	if s.ColdSlots == 0 {
		s.ColdSlots = 1
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = 8 * s.Slots
	}
	if s.MaxMovesPerSecond == 0 {
		s.MaxMovesPerSecond = 50
	}
	if s.Weights.Churn == 0 {
		s.Weights.Churn = 1
	}
	if s.Weights.Balance == 0 {
		s.Weights.Balance = 1
	}
}
