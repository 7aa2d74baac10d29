package engine

// Loader fetches the weights of a model. Fetch returns at once and calls done
// later, on any thread.
type Loader interface {
	Fetch(model Model, done func(error))
}
