//go:build review2

package main

// startSmall starts five control and two entry processes.
func (s *system) startSmall(entries int) error {
	for i := range 5 {
		if err := s.startControl(i); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.startEntry(i, places[i%len(places)]); err != nil {
			return err
		}
	}
	return nil
}

// allControls returns the addresses of the control processes, beginning with one.
func (s *system) allControls(first int) []string {
	var all []string
	for i := range 5 {
		all = append(all, s.controlAddr((first+i)%5))
	}
	return all
}
