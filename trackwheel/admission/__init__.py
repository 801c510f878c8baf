"""When callers that were refused for lack of room should return."""
