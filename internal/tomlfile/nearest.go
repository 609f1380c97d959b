package tomlfile

const (
	maxTypos     = 2  // edits by which a candidate may differ from the word
	maxWordBytes = 64 // longer words are not compared
)

// Nearest returns the candidate that word most likely misspells, or "" if none is similar enough.
func Nearest(word string, candidates []string) string {
	nearest, leastDistance := "", maxTypos+1
	for _, candidate := range candidates {
		if d := distance(word, candidate); d < leastDistance && d < len(candidate) {
			nearest, leastDistance = candidate, d
		}
	}
	return nearest
}

// distance returns the optimal string alignment distance: the number of bytes to substitute, insert, delete, or swap
// with the next one. It returns maxWordBytes if either word is longer than that.
func distance(a, b string) int {
	if len(a) > maxWordBytes || len(b) > maxWordBytes {
		return maxWordBytes
	}
	distances := make([][]int, len(a)+1) // distances[i][j] is the distance of a[:i] and b[:j]
	for i := range distances {
		distances[i] = make([]int, len(b)+1)
		distances[i][0] = i
	}
	for j := range distances[0] {
		distances[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			substitution := 1
			if a[i-1] == b[j-1] {
				substitution = 0
			}
			least := min(distances[i-1][j]+1, distances[i][j-1]+1, distances[i-1][j-1]+substitution)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				least = min(least, distances[i-2][j-2]+1)
			}
			distances[i][j] = least
		}
	}
	return distances[len(a)][len(b)]
}
