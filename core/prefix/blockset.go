package prefix

// blockSet is a bounded set of blocks in two generations. When the recent
// generation is full, it replaces the older one, whose blocks are evicted. The set
// needs no list in order of use, which would hold several pointers for each
// block.
type blockSet struct {
	limit  int
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

func newBlockSet(limit int) *blockSet {
	return &blockSet{limit: limit, recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

func (s *blockSet) add(block uint64) {
	if len(s.recent) >= max(1, s.limit/2) {
		s.older = s.recent
		s.recent = map[uint64]struct{}{}
	}
	delete(s.older, block)
	s.recent[block] = struct{}{}
}

func (s *blockSet) remove(block uint64) {
	delete(s.recent, block)
	delete(s.older, block)
}

func (s *blockSet) contains(block uint64) bool {
	if _, ok := s.recent[block]; ok {
		return true
	}
	_, ok := s.older[block]
	return ok
}

func (s *blockSet) len() int {
	return len(s.recent) + len(s.older)
}
