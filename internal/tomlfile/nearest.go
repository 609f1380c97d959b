package tomlfile

const (
	maxTypos     = 2  // between a word and the one that was meant
	maxWordBytes = 64 // of a word that is compared
)

// Nearest returns the word among others that was likely meant; empty: none is near.
func Nearest(word string, among []string) string {
	nearest, least := "", maxTypos+1
	for _, candidate := range among {
		if d := distance(word, candidate); d < least && d < len(candidate) {
			nearest, least = candidate, d
		}
	}
	return nearest
}

// distance returns the optimal string alignment distance: how many letters must be changed, inserted, deleted, or
// swapped with the next.
func distance(a, b string) int {
	if len(a) > maxWordBytes || len(b) > maxWordBytes {
		return maxWordBytes
	}
	distances := make([][]int, len(a)+1) // of the beginnings of these lengths
	for i := range distances {
		distances[i] = make([]int, len(b)+1)
		distances[i][0] = i
	}
	for j := range distances[0] {
		distances[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			least := min(distances[i-1][j]+1, distances[i][j-1]+1, distances[i-1][j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				least = min(least, distances[i-2][j-2]+1)
			}
			distances[i][j] = least
		}
	}
	return distances[len(a)][len(b)]
}
