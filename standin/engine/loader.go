package engine

// Loader fetches the weights of a model.
type Loader interface {
	// Fetch does not block. It calls done later, from any goroutine.
	Fetch(model Model, done func(error))
}
