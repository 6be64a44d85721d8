"""The operators' tool: the document, and dumps of the processes."""
