"""Tests of the order and refusal of requests where targets have too little room."""
