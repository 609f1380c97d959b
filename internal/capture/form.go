package capture

import "lockloom/internal/graphcodec"

// A file's head tells the form of its state blocks by a number. It was computed from the names of Go types once, so it is kept here with
// the layout that it stands for: names may change, the layout may not without another number.
const (
	publishedForm   = 5870707023309409998
	publishedLayout = 17531531265592532747
)

// stateForm is the number of the form in which this build writes state blocks, and the only one that it reads.
func stateForm() (uint64, error) {
	layout, err := graphcodec.Layout[state]()
	if err == nil && layout == publishedLayout {
		return publishedForm, nil
	}
	return layout, err
}
