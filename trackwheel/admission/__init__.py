"""Order and refusal of requests where targets have too little room."""
